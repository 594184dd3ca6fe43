package org.verbenatray.instance;

import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.pace.PaceExchange;
import org.verbenatray.pace.ServerPace;

/** Connects the pace of servers to the other instances of the group. */
final class ServerPaces {
    private ServerPaces() {}

    /** Creates the pace of servers of one instance, which learns from the group and tells it. */
    static ServerPace create(
            RelayInstanceSettings settings, WorkSharing sharing, BackendDirectory directory, EventLoop loop) {
        PaceExchange exchange = PaceExchange.create(sharing::groupAddresses, sharing::send);
        ServerPace pace = ServerPace.create(
                settings.name(), () -> sharing.groupAddresses().size() + 1, exchange::send, loop.ticker());
        sharing.register(
                PaceExchange::recognizes,
                datagram -> PaceExchange.receive(
                        datagram,
                        notice -> directory.findBoot(notice.boot()).ifPresent(server -> pace.receive(server, notice))));
        return pace;
    }
}
