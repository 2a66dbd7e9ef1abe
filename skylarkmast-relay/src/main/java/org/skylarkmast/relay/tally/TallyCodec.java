package org.skylarkmast.relay.tally;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The binary form of tallies, by the JDK's data streams. */
public final class TallyCodec {

    /** Most tallies accepted in one message, so that a corrupt count cannot take all memory. */
    private static final int MAX_TALLIES = 100_000;

    private TallyCodec() {}

    /** Writes tallies; fractions lose precision that choices do not need. */
    public static void write(DataOutputStream out, List<RunnerTally> tallies) throws IOException {
        out.writeInt(tallies.size());
        for (RunnerTally tally : tallies) {
            out.writeUTF(tally.incarnation());
            out.writeInt(tally.underWay());
            out.writeFloat((float) tally.workMs());
            out.writeFloat((float) tally.workUnits());
            out.writeFloat((float) tally.ended());
            out.writeFloat((float) tally.failed());
        }
    }

    /**
     * Reads tallies.
     *
     * @throws IOException if there are none, or too many to be true
     */
    public static List<RunnerTally> read(DataInputStream in) throws IOException {
        int count = in.readInt();
        if (count < 0 || count > MAX_TALLIES) {
            throw new IOException("invalid number of tallies " + count);
        }
        List<RunnerTally> tallies = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            tallies.add(
                    new RunnerTally(
                            in.readUTF(),
                            in.readInt(),
                            in.readFloat(),
                            in.readFloat(),
                            in.readFloat(),
                            in.readFloat()));
        }
        return tallies;
    }
}
