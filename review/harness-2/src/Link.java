import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** The way to a runner. While it is cut, it holds up what both ends send, the ends of connections included. */
final class Link {
  private final InetSocketAddress runner;
  private final ServerSocket listener;
  private boolean isCut;

  /** Opens a way from {@code host} to the runner at {@code runner}. */
  Link(String host, InetSocketAddress runner) throws IOException {
    this.runner = runner;
    listener = new ServerSocket(0, 256, InetAddress.getByName(host));
    Store.daemon(this::accept);
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  synchronized void cut() {
    isCut = true;
  }

  synchronized void heal() {
    isCut = false;
    notifyAll();
  }

  private synchronized void awaitPath() throws InterruptedException {
    while (isCut) wait();
  }

  private void accept() {
    while (true) {
      try {
        Socket near = listener.accept();
        near.setTcpNoDelay(true);
        Store.daemon(() -> connect(near));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket near) {
    try {
      awaitPath();
      Socket far = new Socket();
      far.setTcpNoDelay(true);
      far.connect(runner, 1_000);
      Store.daemon(() -> pass(near, far));
      pass(far, near);
    } catch (IOException | InterruptedException e) {
      close(near);
    }
  }

  private void pass(Socket from, Socket to) {
    try {
      InputStream input = from.getInputStream();
      OutputStream output = to.getOutputStream();
      byte[] buffer = new byte[16 * 1024];
      while (true) {
        int read = input.read(buffer);
        awaitPath();
        if (read < 0) break;
        output.write(buffer, 0, read);
      }
    } catch (IOException | InterruptedException e) {
      // One of the ends has closed its connection.
    }
    close(from);
    close(to);
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }
}
