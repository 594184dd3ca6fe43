package org.verbenatray.instance;

import java.util.List;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.fleet.DomainDigest;
import org.verbenatray.fleet.LoadChange;
import org.verbenatray.fleet.LoadReport;
import org.verbenatray.peers.generated.EngineLoad;
import org.verbenatray.peers.generated.EngineReport;

/** Converts engine load, load reports and domain digests to protobuf messages for peers and back. */
final class PeerMessages {
    private PeerMessages() {}

    /** Converts the load that this instance causes on an engine; negative values become zero. */
    static EngineLoad loadToMessage(String engine, LoadChange total) {
        return EngineLoad.newBuilder()
                .setEngine(engine)
                .setRunningStreams(Math.max(0, total.streams()))
                .setQueuedPrefillTokens(Math.max(0, total.prefillTokens()))
                .setKvTokens(Math.max(0, total.kvTokens()))
                .build();
    }

    /** Converts the load that a peer causes on an engine. */
    static LoadChange loadFromMessage(EngineLoad message) {
        return new LoadChange(message.getRunningStreams(), message.getQueuedPrefillTokens(), message.getKvTokens());
    }

    /** Converts a digest; negative loads become zero. */
    static org.verbenatray.peers.generated.DomainDigest digestToMessage(DomainDigest digest) {
        return org.verbenatray.peers.generated.DomainDigest.newBuilder()
                .setFailureDomain(digest.failureDomain())
                .setReadyEngines(digest.readyEngines())
                .setRunningStreams(Math.max(0, digest.runningStreams()))
                .setQueuedPrefillTokens(Math.max(0, digest.queuedPrefillTokens()))
                .addAllOffers(digest.offers().stream()
                        .map(PeerMessages::reportToMessage)
                        .toList())
                .build();
    }

    /** Converts the message of a digest; fails with an {@link IllegalArgumentException} when a role is unknown. */
    static DomainDigest digestFromMessage(org.verbenatray.peers.generated.DomainDigest message) {
        List<LoadReport> offers = message.getOffersList().stream()
                .map(PeerMessages::reportFromMessage)
                .toList();
        return new DomainDigest(
                message.getFailureDomain(),
                message.getReadyEngines(),
                message.getRunningStreams(),
                message.getQueuedPrefillTokens(),
                offers);
    }

    private static EngineReport reportToMessage(LoadReport report) {
        return EngineReport.newBuilder()
                .setEngine(report.engine())
                .setIncarnation(report.incarnation())
                .setSequence(report.sequence())
                .setRole(report.role().name())
                .setLeaving(report.leaving())
                .setChanging(report.changing())
                .setRunningStreams(Math.max(0, report.runningStreams()))
                .setQueuedPrefillTokens(Math.max(0, report.queuedPrefillTokens()))
                .setUsedKvTokens(Math.max(0, report.usedKvTokens()))
                .setAgeMillis(Math.max(0, report.ageMillis()))
                .build();
    }

    private static LoadReport reportFromMessage(EngineReport message) {
        return new LoadReport(
                message.getEngine(),
                message.getIncarnation(),
                message.getSequence(),
                EngineRole.valueOf(message.getRole()),
                message.getLeaving(),
                message.getChanging(),
                message.getRunningStreams(),
                message.getQueuedPrefillTokens(),
                message.getUsedKvTokens(),
                message.getAgeMillis());
    }
}
