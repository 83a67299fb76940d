package review3;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A program's two sub-agents run near the end of its budget while the store is slow; one of them goes on in another zone. */
final class Case11 extends Case {
  private static final int PROGRAMS = 12;
  private static final int BATCHES = 4;
  private static final int BUDGET = 1_200;
  private static final int MOST = 576;

  /** The store's usual answer takes 4 ms; at the largest dose, 60 times as long. */
  private static final int SLOW_MS = 240;
  private static final int SLOW_FOR_MS = 4_500;

  private final Deployment deployment = new Deployment(this);
  private final AtomicInteger whole = new AtomicInteger();
  private final AtomicInteger continued = new AtomicInteger();
  private final AtomicInteger notFound = new AtomicInteger();

  private Case11(Path record) throws IOException {
    super(record);
  }

  public static void main(String[] arguments) throws IOException {
    System.exit(new Case11(Path.of(arguments[0])).run());
  }

  @Override
  void play() throws Exception {
    for (int i = 0; i < 3; i++) deployment.addGateway();
    for (int i = 0; i < 3; i++) deployment.addRunner("models", 12, this::answer);
    deployment.configure(7);
    deployment.start();
    for (int batch = 0; batch < BATCHES; batch++) {
      if (!isCalm) deployment.store.latencyMs = SLOW_MS;
      recorder.write("store: answers take " + deployment.store.latencyMs + " ms");
      long startedAt = recorder.nowMs();
      Thread[] programs = new Thread[PROGRAMS];
      for (int i = 0; i < PROGRAMS; i++) {
        String program = "p" + batch + "x" + i;
        programs[i] = Threads.start(program, () -> program(program));
        Threads.sleep(60);
      }
      Threads.sleep(startedAt + SLOW_FOR_MS - recorder.nowMs());
      deployment.store.latencyMs = 4;
      recorder.write("store: answers take 4 ms");
      for (Thread thread : programs) thread.join(12_000);
      Threads.sleep(2_000);
    }
    recorder.write(whole + " turns of sub-agents were answered whole, " + continued + " were continued, " + notFound + " of these in vain");
    if (whole.get() < PROGRAMS) throw new CannotRun("too few turns were answered");
  }

  private void answer(Runner.Run run, java.io.OutputStream out) throws IOException {
    if (run.path().endsWith("long")) Runner.stream(run, out, 1, 11, 36);
    else Runner.stream(run, out, 1, 5, 20);
  }

  private void program(String program) throws Exception {
    Gateway first = deployment.gateways.get(0);
    Gateway second = deployment.gateways.get(1);
    if (!turn(first, program, "main", program + "-t0", null, "short").isSuccess()) return;
    AtomicBoolean hasEnded = new AtomicBoolean();
    Thread other =
        Threads.start(
            program + "-b",
            () -> {
              Client.Answer answer = turn(second, program, "b", program + "-b1", program + "-t0", "short");
              if (answer.status() / 100 == 4 && answer.status() != 429) hasEnded.set(true);
            });
    Client.Answer answer = turn(first, program, "a", program + "-a1", program + "-t0", "long");
    if (answer.isSuccess()) {
      whole.incrementAndGet();
      Threads.sleep(ThreadLocalRandom.current().nextInt(10, 60));
      if (!hasEnded.get()) {
        Client.Answer next = turn(second, program, "a", program + "-a2", program + "-a1", "short");
        continued.incrementAndGet();
        if (next.status() == 404 || next.status() == 410) {
          notFound.incrementAndGet();
          broken("turn " + program + "-a2 got " + next.status() + ", though it names " + program + "-a1, which was answered whole");
        }
      }
    }
    other.join();
  }

  private Client.Answer turn(Gateway gateway, String program, String session, String id, String previous, String kind) {
    Map<String, String> headers = Deployment.turn(id, program, session, BUDGET, MOST, previous);
    recorder.write("client: sends " + id + " to " + gateway.name + (previous == null ? "" : ", after " + previous));
    byte[] body = ("input of " + id).getBytes(StandardCharsets.UTF_8);
    Client.Answer answer =
        Client.send(gateway.address, gateway.callerPort, "POST", Deployment.CHAT + kind, headers, body, 3_500);
    recorder.write("client: " + id + " got " + answer);
    return answer;
  }
}
