package org.gooseberryring.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards the channels to a port, so that a runner that starts again keeps its address. */
final class FixedAddress implements AutoCloseable {
    private static final int BACKLOG = 64;
    private static final int BUFFER_BYTES = 16_384;

    private final ServerSocket server = new ServerSocket();
    private final int target;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    /** Listens on a port of the loopback address and forwards to another one. */
    FixedAddress(int port, int target) throws IOException {
        this.target = target;
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        daemon(this::accept);
    }

    /** Refuses new channels and resets the open ones, as the end of a process does. */
    @Override
    public void close() throws IOException {
        server.close();
        open.forEach(FixedAddress::reset);
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The channel was closed meanwhile.
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket from = server.accept();
                Socket to = new Socket(InetAddress.getLoopbackAddress(), target);
                open.add(from);
                open.add(to);
                daemon(() -> copy(from, to));
                daemon(() -> copy(to, from));
            } catch (IOException e) {
                if (!server.isClosed()) {
                    throw new UncheckedIOException(e);
                }
            }
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                out.write(buffer, 0, count);
            }
        } catch (IOException e) {
            // One side has closed its channel; both are closed.
        } finally {
            open.remove(from);
            open.remove(to);
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }
}
