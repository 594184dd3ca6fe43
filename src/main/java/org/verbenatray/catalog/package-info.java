/** The routes, services and limits in force, as immutable versions that only move forward. */
package org.verbenatray.catalog;
