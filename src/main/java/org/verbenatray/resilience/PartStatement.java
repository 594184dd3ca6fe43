package org.verbenatray.resilience;

/**
 * What one instance has seen of a part of prompts.
 *
 * @param part the key of the part
 * @param evidence what speaks for or against it there
 */
record PartStatement(String part, PartEvidence evidence) {}
