package org.skylarkmast.daemon.journal;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.skylarkmast.core.journal.JournalBatch;

/**
 * Encodes and decodes stored batches as the protocol buffer message {@code {string write_id = 1;
 * int64 epoch = 2; int64 first_sequence = 3; repeated bytes records = 4;}}.
 */
final class BatchCodec {
    private static final int WRITE_ID = 1;
    private static final int EPOCH = 2;
    private static final int FIRST_SEQUENCE = 3;
    private static final int RECORDS = 4;

    private BatchCodec() {}

    static byte[] encode(JournalBatch batch) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        try {
            out.writeString(WRITE_ID, batch.writeId());
            out.writeInt64(EPOCH, batch.epoch());
            out.writeInt64(FIRST_SEQUENCE, batch.firstSequence());
            for (byte[] record : batch.records()) {
                out.writeByteArray(RECORDS, record);
            }
            out.flush();
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode journal batch", e);
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes a stored batch.
     *
     * @throws IllegalStateException if the bytes are not a batch
     */
    static JournalBatch decode(byte[] bytes) {
        String writeId = "";
        long epoch = 0;
        long firstSequence = 0;
        List<byte[]> records = new ArrayList<>();
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        try {
            for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
                switch (WireFormat.getTagFieldNumber(tag)) {
                    case WRITE_ID -> writeId = in.readString();
                    case EPOCH -> epoch = in.readInt64();
                    case FIRST_SEQUENCE -> firstSequence = in.readInt64();
                    case RECORDS -> records.add(in.readByteArray());
                    default -> in.skipField(tag);
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException("corrupt journal batch", e);
        }
        return new JournalBatch(writeId, epoch, firstSequence, records);
    }
}
