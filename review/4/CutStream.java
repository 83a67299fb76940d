package review;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * The streams of seven runners end with their connections. In each round, one of the runners is killed while it streams.
 * Callers of streams that were cut off inside an event must not see a complete answer.
 */
final class CutStream extends Case {
    private static final int RUNNERS = 7;
    private static final int STREAMS = 21;
    private static final int ROUNDS = 5;
    private static final long KILLED_AFTER_MS = 200;

    private final Map<String, Process> processes = new LinkedHashMap<>();

    public static void main(String[] arguments) {
        new CutStream().run(arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        configure(0, 0, route("draft", "streaming", "llm", true));
        startGateways(3);
        for (int i = 0; i < RUNNERS; i++) startRunner("i-first-" + i);
        Runner.sleep(1_000);
        int broken = 0;
        try {
            for (int round = 0; round < ROUNDS; round++) broken += round(round);
        } finally {
            processes.values().forEach(Process::destroyForcibly);
        }
        recorder.log(broken + " streams were cut off inside an event and looked complete to their callers");
        return broken == 0;
    }

    /** Kills a runner while all of them stream, and returns how many cut streams looked complete. */
    private int round(int round) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(STREAMS);
        List<Future<Client.Answer>> answers = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            int gateway = i % gateways.size();
            answers.add(threads.submit(() -> turn(gateway, "turn", new byte[2_000], null)));
        }
        Runner.sleep(KILLED_AFTER_MS);
        String killed = processes.keySet().iterator().next();
        if (hasTrouble) {
            processes.remove(killed).destroyForcibly();
            recorder.log("runner " + killed + " is killed");
        }
        int broken = 0;
        for (Future<Client.Answer> answer : answers) {
            if (isCutButWhole(answer.get())) broken++;
        }
        threads.shutdown();
        if (hasTrouble) {
            Runner.sleep(3_600);
            store.remove("servers", killed);
            startRunner("i-round-" + round);
        }
        Runner.sleep(1_000);
        return broken;
    }

    private void startRunner(String id) throws Exception {
        Process process =
            new ProcessBuilder("java", "-Xmx64m", "-cp", "target/review", "review.StreamProcess", id).start();
        processes.put(id, process);
        String address = new BufferedReader(new InputStreamReader(process.getInputStream())).readLine();
        store.put("servers", id, "{\"service\":\"llm\",\"address\":\"" + address + "\",\"zone\":\"zone-a\",\"version\":\"v1\","
            + "\"slots\":12,\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[],\"born\":"
            + System.currentTimeMillis() + ",\"sequence\":1}");
        recorder.log("runner " + id + " starts at " + address);
    }

    private boolean isCutButWhole(Client.Answer answer) {
        String body = new String(answer.body(), StandardCharsets.UTF_8);
        boolean isCut = !body.endsWith("\n\n");
        String end = body.substring(Math.max(0, body.length() - 30)).replace("\n", "\\n");
        recorder.log("stream " + answer.id() + " -> " + answer + ", ends with \"" + end + "\"");
        return answer.isSuccess() && isCut;
    }
}
