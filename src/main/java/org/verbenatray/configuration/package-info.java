/**
 * The configuration folder, its schema, the change sets that publish it and the replicated state machine that accepts
 * or rejects them.
 */
package org.verbenatray.configuration;
