/**
 * Settings of a process from flags and environment variables, their validation, and signals and files that announce
 * changes.
 */
package org.verbenatray.settings;
