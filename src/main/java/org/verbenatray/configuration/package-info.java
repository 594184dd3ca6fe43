/** The configuration folder, its schema, change sets and the fold that accepts or rejects them. */
package org.verbenatray.configuration;
