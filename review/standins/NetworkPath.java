import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** The way to one runner, on which channels can be reset; both ends see the reset. */
final class NetworkPath implements AutoCloseable {
    private static final int BUFFER_BYTES = 8192;

    final String address;
    private final ServerSocket listener;
    private final String target;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();

    private record Link(Socket near, Socket far) {
        void reset() {
            for (Socket socket : List.of(near, far)) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException e) {
                    // It is closed already.
                }
            }
        }
    }

    NetworkPath(String ip, String target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 256, InetAddress.getByName(ip));
        address = ip + ":" + listener.getLocalPort();
        Thread.ofVirtual().start(this::accept);
    }

    /** Resets each open channel with this probability; returns how many. */
    int reset(double share) {
        List<Link> open = new ArrayList<>(links);
        Collections.shuffle(open);
        int count = 0;
        for (Link link : open) {
            if (ThreadLocalRandom.current().nextDouble() < share) {
                link.reset();
                count++;
            }
        }
        return count;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket near = listener.accept();
                Socket far = new Socket();
                int colon = target.lastIndexOf(':');
                far.connect(
                        new InetSocketAddress(
                                target.substring(0, colon),
                                Integer.parseInt(target.substring(colon + 1))));
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Link link = new Link(near, far);
                links.add(link);
                Thread.ofVirtual().start(() -> relay(link, near, far));
                Thread.ofVirtual().start(() -> relay(link, far, near));
            } catch (IOException e) {
                // Closed, or the runner has ended.
            }
        }
    }

    private void relay(Link link, Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                out.write(buffer, 0, n);
            }
        } catch (IOException e) {
            // One end closed or reset the channel.
        } finally {
            links.remove(link);
            link.reset();
        }
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            // Nothing is left to release.
        }
        links.forEach(Link::reset);
    }
}
