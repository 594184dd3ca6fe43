package org.verbenatray.instance;

import java.util.List;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.fleet.DomainDigest;
import org.verbenatray.fleet.LoadChange;
import org.verbenatray.fleet.LoadReport;
import org.verbenatray.peers.generated.EngineLoad;
import org.verbenatray.peers.generated.EngineReport;

/** Turns what the fleet view knows into messages for peers and back. */
final class PeerMessages {
    /** Prevents instances. */
    private PeerMessages() {}

    /** Returns the message of the load that own dispatches cause on an engine. */
    static EngineLoad load(String engine, LoadChange total) {
        return EngineLoad.newBuilder()
                .setEngine(engine)
                .setRunningStreams(Math.max(0, total.streams()))
                .setQueuedPrefillTokens(Math.max(0, total.prefillTokens()))
                .setKvTokens(Math.max(0, total.kvTokens()))
                .build();
    }

    /** Returns the load that a peer's dispatches cause on an engine. */
    static LoadChange load(EngineLoad message) {
        return new LoadChange(message.getRunningStreams(), message.getQueuedPrefillTokens(), message.getKvTokens());
    }

    /** Returns the message of a digest. */
    static org.verbenatray.peers.generated.DomainDigest digest(DomainDigest digest) {
        return org.verbenatray.peers.generated.DomainDigest.newBuilder()
                .setFailureDomain(digest.failureDomain())
                .setReadyEngines(digest.readyEngines())
                .setRunningStreams(Math.max(0, digest.runningStreams()))
                .setQueuedPrefillTokens(Math.max(0, digest.queuedPrefillTokens()))
                .addAllOffers(digest.offers().stream().map(PeerMessages::report).toList())
                .build();
    }

    /** Returns the digest of a message; fails with an {@link IllegalArgumentException} when a role is unknown. */
    static DomainDigest digest(org.verbenatray.peers.generated.DomainDigest message) {
        List<LoadReport> offers =
                message.getOffersList().stream().map(PeerMessages::report).toList();
        return new DomainDigest(
                message.getFailureDomain(),
                message.getReadyEngines(),
                message.getRunningStreams(),
                message.getQueuedPrefillTokens(),
                offers);
    }

    /** Returns the message of a load report. */
    private static EngineReport report(LoadReport report) {
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

    /** Returns the load report of a message. */
    private static LoadReport report(EngineReport message) {
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
