package org.chestnutloom.fakes.edge

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.chestnutloom.fakes.StandIn
import java.io.BufferedInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.BindException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** A target that writes the raw responses of [script], so that tests can send malformed HTTP. */
public class ScriptedTarget(
    private val script: (ReceivedRequest) -> ScriptedResponse,
) : StandIn {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)

    @Volatile
    private var serverSocket: ServerSocket? = null

    @Volatile
    private var accepting: Job? = null
    private val openSockets = CopyOnWriteArrayList<Socket>()

    /** The requests that were read completely, in order of arrival. */
    public val received: MutableList<ReceivedRequest> = CopyOnWriteArrayList()

    /** The number of connections accepted so far. */
    @Volatile
    public var connections: Int = 0
        private set

    private val written = AtomicLong()

    /** The number of bytes that were written so far, until the caller stopped reading them. */
    public val writtenBytes: Long
        get() = written.get()

    /** The number of endless responses that ended because the caller closed the connection. */
    @Volatile
    public var endedByCaller: Int = 0
        private set

    override var port: Int = 0
        private set

    override suspend fun start() {
        while (true) {
            try {
                return listen(PORTS.random())
            } catch (_: BindException) {
                // Another process uses this port; the next one is tried.
            }
        }
    }

    /** Listens on the same port again after [ConnectionAction.CRASH]; without effect while the target listens. */
    public suspend fun listenAgain() {
        if (serverSocket?.isClosed != true) return
        // A caller may have its whole response while the port is still being closed.
        accepting?.join()
        listen(port)
    }

    private fun listen(onPort: Int) {
        val socket = ServerSocket(onPort, BACKLOG_CONNECTIONS, InetAddress.getLoopbackAddress())
        port = onPort
        serverSocket = socket
        accepting = scope.launch { accept(socket) }
    }

    /** Returns when connections to the port are refused, which is later than the server socket is closed. */
    private suspend fun stopListening() {
        serverSocket?.close()
        accepting?.join()
    }

    override suspend fun stop() {
        serverSocket?.close()
        openSockets.forEach { it.close() }
        scope.cancel()
    }

    private fun accept(server: ServerSocket) {
        while (!server.isClosed) {
            val socket =
                try {
                    server.accept()
                } catch (_: IOException) {
                    // The server socket was closed by stop() or ConnectionAction.CRASH.
                    return
                }
            connections++
            openSockets += socket
            scope.launch { serve(socket) }
        }
    }

    private suspend fun serve(socket: Socket) {
        try {
            val input = BufferedInputStream(socket.getInputStream())
            while (true) {
                val request = read(input) ?: break
                received += request
                if (!respond(socket, script(request))) break
            }
        } catch (_: IOException) {
            // The caller closed the connection; the test checks this on its own side.
        } finally {
            socket.close()
        }
    }

    private fun read(input: InputStream): ReceivedRequest? {
        val requestLine = readLine(input) ?: return null
        val headers = generateSequence { readLine(input) }.takeWhile { it.isNotEmpty() }.associate(::headerOf)
        val bodyBytes = headers["content-length"]?.toInt() ?: 0
        val body = input.readNBytes(bodyBytes)
        if (body.size < bodyBytes) return null
        val method = requestLine.substringBefore(' ')
        val target = requestLine.substringAfter(' ').substringBeforeLast(' ')
        return ReceivedRequest(method, target, headers, body)
    }

    private fun headerOf(line: String): Pair<String, String> =
        line.substringBefore(':').lowercase() to line.substringAfter(':').trim(' ', '\t')

    /** Returns the next line with each byte as one character, or null at the end of the connection. */
    private fun readLine(input: InputStream): String? {
        val bytes = ByteArrayOutputStream()
        while (true) {
            val byte = input.read()
            if (byte < 0) return null
            if (byte == '\n'.code) return bytes.toString(Charsets.ISO_8859_1).removeSuffix("\r")
            bytes.write(byte)
        }
    }

    private suspend fun respond(
        socket: Socket,
        response: ScriptedResponse,
    ): Boolean {
        val output = socket.getOutputStream()
        response.chunks.forEach { write(it.encodeToByteArray(), output, response.pause) }
        if (response.isEndless) writeUntilClosed(response.chunks.last().encodeToByteArray(), output, response.pause)
        if (response.connectionAction == ConnectionAction.RESET) socket.setSoLinger(true, 0)
        if (response.connectionAction == ConnectionAction.CRASH) stopListening()
        return response.connectionAction == ConnectionAction.KEEP_ALIVE
    }

    private suspend fun write(
        bytes: ByteArray,
        output: OutputStream,
        pause: Duration,
    ) {
        delay(pause)
        output.write(bytes)
        output.flush()
        written.addAndGet(bytes.size.toLong())
    }

    private suspend fun writeUntilClosed(
        bytes: ByteArray,
        output: OutputStream,
        pause: Duration,
    ) {
        try {
            while (true) write(bytes, output, pause)
        } catch (e: IOException) {
            endedByCaller++
            throw e
        }
    }

    private companion object {
        private const val BACKLOG_CONNECTIONS = 64

        /**
         * Below the ports that the system assigns to connections, so that none takes the port of a crashed target, and
         * apart from those of gateways, which are free when they are chosen and bound somewhat later.
         */
        private val PORTS = 26_001..32_000
    }
}
