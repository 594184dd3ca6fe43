package org.verbenatray.resilience;

import java.util.List;

/**
 * What an instance tells others of the parts of prompts under which servers ended.
 *
 * @param instance the name of the instance
 * @param statements what it has seen of each part
 * @param succeeded the parts with which requests have just run to their end there
 */
record EvidenceNotice(String instance, List<PartStatement> statements, List<String> succeeded) {}
