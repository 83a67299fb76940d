package review;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The store refuses all calls for two seconds. Turns are answered whole meanwhile, and all gateways are killed before
 * the store is back. Then the turns are continued.
 */
final class KilledInOutage extends Case {
    private static final int TURNS = 6;

    public static void main(String[] arguments) {
        new KilledInOutage().run(arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        configure(0, 0, route("draft", "streaming", "llm", true));
        startRunners(3, "llm", 12, true, 60);
        startGateways(3);
        Runner.sleep(3_000);

        if (hasTrouble) {
            store.isDown = true;
            recorder.log("the store is down: it answers 503");
        }
        List<Client.Answer> whole = new ArrayList<>();
        for (int i = 0; i < TURNS; i++) {
            Client.Answer answer = turn(i % gateways.size(), "turn", input(i), null);
            if (answer.isSuccess()) whole.add(answer);
        }
        if (hasTrouble) {
            gateways.forEach(Gateway::kill);
            Runner.sleep(500);
            store.isDown = false;
            recorder.log("the store is back");
            Runner.sleep(500);
            for (Gateway gateway : gateways) gateway.start();
        }
        awaitReady();
        Runner.sleep(3_000);

        long lost = whole.stream().filter(it -> isUnknown(it.id())).count();
        recorder.log(whole.size() + " turns were answered whole; " + lost + " of them are not known any more");
        return lost == 0;
    }

    private boolean isUnknown(String previous) {
        boolean isUnknown = false;
        for (int gateway = 0; gateway < gateways.size(); gateway++) {
            byte[] next = "and then?".getBytes(StandardCharsets.UTF_8);
            int status = turn(gateway, "next turn", next, previous).status();
            if (status == 404 || status == 410) isUnknown = true;
        }
        return isUnknown;
    }

    private static byte[] input(int number) {
        byte[] bytes = new byte[17_000];
        Arrays.fill(bytes, (byte) ('a' + number));
        return bytes;
    }
}
