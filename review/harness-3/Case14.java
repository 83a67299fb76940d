package review3;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gateway is killed while turns wait there for a runner; seconds later the rest of the budget is less than such a turn
 * could have used.
 */
final class Case14 extends Case {
  private static final int PROGRAMS = 3;
  private static final int BUDGET = 2_000;
  private static final int MOST = 576;
  private static final int CONTACT_MS = 3_000;
  private static final int RESTART_MS = 1_000;
  private static final int RUNNERS = 3;
  private static final int SLOTS = 12;

  /** Turns of other programs that take all places of the runners, those for the next ones too. */
  private static final int BURST = RUNNERS * (SLOTS + 1) + 6;

  /** Five turns of 1.5 s and four pauses take 8.5 s on idle runners; the aim is 1.5 times that and the objective. */
  private static final int AIM_MS = 13_000;
  private static final int EVENTS = 10;
  private static final int GAP_MS = 150;

  private final Deployment deployment = new Deployment(this);
  private final CountDownLatch burst = new CountDownLatch(1);
  private final CountDownLatch secondTurn = new CountDownLatch(1);
  private final AtomicInteger firstTurns = new AtomicInteger();
  private final AtomicInteger firstTurnsRun = new AtomicInteger();
  private final AtomicInteger ended = new AtomicInteger();
  private volatile long killedAt = Long.MAX_VALUE;
  private volatile boolean isOver = false;

  private Case14(Path record) throws IOException {
    super(record);
  }

  public static void main(String[] arguments) throws IOException {
    System.exit(new Case14(Path.of(arguments[0])).run());
  }

  @Override
  void play() throws Exception {
    for (int i = 0; i < 3; i++) deployment.addGateway();
    for (int i = 0; i < RUNNERS; i++) {
      deployment.addRunner("models", SLOTS, (run, out) -> Runner.stream(run, out, 1, EVENTS, run.path().endsWith("first") ? 10 : GAP_MS));
    }
    deployment.configure(7);
    deployment.start();
    List<Thread> others = new ArrayList<>();
    for (int i = 0; i < BURST; i++) {
      String program = "many" + i;
      Gateway gateway = deployment.gateways.get(1 + i % 2);
      others.add(Threads.start(program, () -> burst(gateway, program)));
      Threads.sleep(20);
    }
    Threads.sleep(500);
    List<Thread> programs = new ArrayList<>();
    for (int i = 0; i < PROGRAMS; i++) {
      String program = "p" + i;
      programs.add(Threads.start(program, () -> program(program)));
    }
    Threads.sleep(1_700);
    // Many users send their next turns at once; half a second later the runners are full.
    burst.countDown();
    Threads.sleep(500);
    secondTurn.countDown();
    Threads.sleep(400);
    if (!isCalm) {
      for (int i = 0; i < PROGRAMS; i++) {
        if (hasRun("p" + i + "-t1-00")) throw new CannotRun("a second turn has reached a runner");
      }
      killedAt = recorder.nowMs();
      Gateway killed = deployment.gateways.get(0);
      killed.kill();
      Threads.sleep(RESTART_MS);
      killed.start();
    }
    for (Thread thread : others) thread.join();
    Thread first = Threads.start("first", this::firstTurns);
    for (Thread thread : programs) thread.join();
    isOver = true;
    first.join();
    recorder.write(firstTurns + " first turns of other programs, " + firstTurnsRun + " answered whole; " + ended + " programs were served to their end");
    if (firstTurnsRun.get() * 10 < firstTurns.get() * 9) throw new CannotRun("too few first turns of other programs were served");
  }

  private void burst(Gateway gateway, String program) throws InterruptedException {
    String first = program + "-t0";
    if (!attempt(gateway, program, first, null, "first").isSuccess()) return;
    burst.await();
    attempt(gateway, program, program + "-t1", first, "turn");
  }

  /** Sends first turns of other programs to the gateways that are in touch. */
  private void firstTurns() {
    for (int i = 0; !isOver; i++) {
      String program = "other" + i;
      firstTurns.incrementAndGet();
      if (attempt(deployment.gateways.get(1 + i % 2), program, program + "-t0", null, "first").isSuccess()) firstTurnsRun.incrementAndGet();
      Threads.sleep(300);
    }
  }

  private void program(String program) throws InterruptedException {
    long startedAt = recorder.nowMs();
    String previous = null;
    for (int number = 0; number < 5; number++) {
      if (number == 1) secondTurn.await();
      String done = turn(program, number, previous, startedAt + AIM_MS);
      if (done == null) return;
      previous = done;
      // A tool.
      Threads.sleep(ThreadLocalRandom.current().nextInt(100, 300));
    }
    ended.incrementAndGet();
  }

  /** Sends a turn, also again after failures, and returns the attempt that was answered whole, or null. */
  private String turn(String program, int number, String previous, long aimAt) {
    int refused = 0;
    for (int sent = 0; sent < 3; sent++) {
      for (int retry = 0; retry < 2; retry++) {
        String id = program + "-t" + number + "-" + sent + retry;
        boolean isFirst = number < 2 && sent == 0 && retry == 0;
        Gateway gateway = deployment.gateways.get(isFirst ? 0 : 1 + (number + sent + retry) % 2);
        long sentAt = recorder.nowMs();
        Client.Answer answer = attempt(gateway, program, id, previous, "turn");
        if (answer.isSuccess()) return id;
        boolean isCounted = previous != null && sentAt > killedAt + RESTART_MS + CONTACT_MS && recorder.nowMs() < aimAt && !hasRun(id);
        if (isCounted) refused++;
        if (answer.status() / 100 == 4 && answer.status() != 429) return null;
        if (answer.status() != 503 && answer.status() != 429) break;
        Threads.sleep(500);
      }
      Threads.sleep(ThreadLocalRandom.current().nextInt(100, 400));
    }
    if (refused >= 5) broken("turn " + number + " of " + program + " reached no runner in " + refused + " tries, though " + previous + " was answered whole");
    return null;
  }

  private boolean hasRun(String id) {
    return deployment.runners.stream().anyMatch(runner -> runner.runs.stream().anyMatch(run -> run.attempt().equals(id)));
  }

  private Client.Answer attempt(Gateway gateway, String program, String id, String previous, String kind) {
    Map<String, String> headers = Deployment.turn(id, program, "a", BUDGET, MOST, previous);
    headers.put("Chestnutloom-Program-Deadline-Ms", "" + AIM_MS);
    recorder.write("client: sends " + id + " to " + gateway.name + (previous == null ? "" : ", after " + previous));
    byte[] body = ("input of " + id).getBytes(StandardCharsets.UTF_8);
    Client.Answer answer = Client.send(gateway.address, gateway.callerPort, "POST", Deployment.CHAT + kind, headers, body, 3_500);
    recorder.write("client: " + id + " got " + answer);
    return answer;
  }
}
