import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** Forwards connections; those that are open can be made to go silent for good, without a reset. */
final class SilencingProxy implements AutoCloseable {
    private final ServerSocket listener;
    private final String address;
    private final Set<AtomicBoolean> open = ConcurrentHashMap.newKeySet();

    SilencingProxy(String ip, String target) throws IOException {
        listener = Wire.listen(ip, 0, (socket, in, out) -> {
            AtomicBoolean silent = new AtomicBoolean();
            open.add(silent);
            try (Socket onward = Wire.connect(target, 60_000)) {
                onward.setSoTimeout(0);
                Thread back = Thread.ofVirtual().start(() -> copy(onward, socket, silent));
                copy(socket, onward, silent);
                back.join();
            } finally {
                open.remove(silent);
            }
        });
        address = ip + ":" + listener.getLocalPort();
    }

    String address() {
        return address;
    }

    /** Silences the open connections; returns how many there are. */
    int silence() {
        open.forEach(silent -> silent.set(true));
        return open.size();
    }

    private static void copy(Socket from, Socket to, AtomicBoolean silent) {
        byte[] buffer = new byte[16_384];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (!silent.get()) {
                    out.write(buffer, 0, n);
                }
            }
            if (!silent.get()) {
                to.shutdownOutput();
            }
        } catch (IOException e) {
            // One of the two sides closed or reset its connection.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
