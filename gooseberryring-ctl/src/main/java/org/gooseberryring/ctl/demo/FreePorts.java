package org.gooseberryring.ctl.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds free ports on the loopback address. */
final class FreePorts {
    private FreePorts() {}

    /** Returns addresses with distinct free ports; another process may still bind one before it is used. */
    static List<String> addresses(int count) {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
            List<String> addresses = sockets.stream()
                    .map(socket -> "127.0.0.1:" + socket.getLocalPort())
                    .toList();
            for (ServerSocket socket : sockets) {
                socket.close();
            }
            return addresses;
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot find free ports", e);
        }
    }
}
