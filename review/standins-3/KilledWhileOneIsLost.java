import java.io.IOException;
import java.util.List;

/**
 * One of three storage machines is lost for good; before an empty one comes in its place, all
 * storage processes are killed and start again. Much later another machine is lost and replaced.
 */
final class KilledWhileOneIsLost {
    private KilledWhileOneIsLost() {}

    public static void main(String[] arguments) throws IOException {
        KeptTurns.main(arguments, KilledWhileOneIsLost::play);
    }

    private static boolean play(KeptTurns deployment) throws Exception {
        Kit.Node lost = deployment.keepers.removeLast();
        lost.signal("KILL");
        deployment.record.add(lost.name + " is lost for good");
        Thread.sleep(500);
        if (Kit.trouble()) {
            deployment.record.add("the storage processes are killed, and start again");
            deployment.killAndStart(List.copyOf(deployment.keepers));
        }
        Thread.sleep(2000);
        deployment.addSuccessor(3);
        Thread.sleep(4 * KeptTurns.CATCH_UP_MS);
        deployment.keepTurns();
        deployment.replace(deployment.keepers.getFirst(), 1);
        Thread.sleep(2 * KeptTurns.CATCH_UP_MS);
        return deployment.recoversFromKill();
    }
}
