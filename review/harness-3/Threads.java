package review3;

/** Starts daemon threads, and waits without checked exceptions. */
final class Threads {
  interface Task {
    void run() throws Exception;
  }

  private Threads() {}

  static Thread start(String name, Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception ignored) {
                // A connection that ended; the case records what the other side saw.
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleep(long ms) {
    if (ms <= 0) return;
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static void await(Object monitor, long ms) {
    try {
      monitor.wait(ms);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
