package org.skylarkmast.bench.load;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.zip.CRC32C;
import org.skylarkmast.bench.history.AnswerRule;
import org.skylarkmast.bench.history.HistoryRecord;

/**
 * The answer rule of the engine stand-in, implemented independently of the stand-in: every word of
 * an answer begins with {@code w} and the CRC-32C of all roles and contents in the prompt, each
 * terminated by a zero byte.
 */
public final class StandInAnswerRule implements AnswerRule {

    @Override
    public String wordPrefix(List<HistoryRecord.Message> prompt) {
        CRC32C crc = new CRC32C();
        for (HistoryRecord.Message message : prompt) {
            crc.update((message.role() + '\0').getBytes(StandardCharsets.UTF_8));
            crc.update((message.content() + '\0').getBytes(StandardCharsets.UTF_8));
        }
        return "w" + Long.toHexString(crc.getValue());
    }
}
