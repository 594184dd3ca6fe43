/**
 * An embedded deployment of stand-ins and entry instances in one process, for the demonstration, benchmarks and
 * tests.
 */
package org.verbenatray.demo;
