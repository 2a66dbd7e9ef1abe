import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A sound model runner: its events come after the time that it takes to read the prompt. */
final class ModelRunner extends Runner {
    private static final int EVENTS = 4;
    private static final int EVENT_MS = 15;

    private final int promptMs;

    ModelRunner(String id, String service, String zone, Kit.Store store, int promptMs)
            throws IOException {
        super(id, service, zone, store);
        this.promptMs = promptMs;
    }

    @Override
    boolean run(Kit.Message request, Map<String, String> fields, Socket channel)
            throws IOException, InterruptedException {
        Thread.sleep(promptMs);
        fields.put("Content-Type", "text/event-stream");
        fields.put("Transfer-Encoding", "chunked");
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        fields.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        channel.getOutputStream().write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        String last = request.field("last-event-id");
        for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= EVENTS; event++) {
            Thread.sleep(EVENT_MS);
            String text = "id: " + event + "\ndata: word-" + event + "\n\n";
            String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
            channel.getOutputStream().write(chunk.getBytes(StandardCharsets.US_ASCII));
        }
        channel.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return true;
    }
}
