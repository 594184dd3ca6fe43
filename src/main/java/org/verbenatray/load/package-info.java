/** Callers that put a mix of requests on entry instances and judge the answers. */
package org.verbenatray.load;
