package org.chestnutloom.fakes.edge

import io.ktor.http.cio.Request
import io.ktor.http.cio.parseRequest
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.jvm.javaio.toByteReadChannel
import io.ktor.utils.io.readFully
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.chestnutloom.fakes.StandIn
import java.io.IOException
import java.io.OutputStream
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
    private var serverSocket: ServerSocket? = null
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

    override val port: Int
        get() = checkNotNull(serverSocket).localPort

    override suspend fun start() {
        val socket = ServerSocket(0, BACKLOG_CONNECTIONS, InetAddress.getLoopbackAddress())
        serverSocket = socket
        scope.launch { accept(socket) }
    }

    override suspend fun stop() {
        closeSockets()
        scope.cancel()
    }

    private fun closeSockets() {
        serverSocket?.close()
        openSockets.forEach { it.close() }
    }

    private fun accept(server: ServerSocket) {
        while (!server.isClosed) {
            val socket =
                try {
                    server.accept()
                } catch (_: IOException) {
                    // stop() closed the server socket.
                    return
                }
            connections++
            openSockets += socket
            scope.launch { serve(socket) }
        }
    }

    private suspend fun serve(socket: Socket) {
        try {
            val input = socket.getInputStream().toByteReadChannel()
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

    private suspend fun read(input: ByteReadChannel): ReceivedRequest? {
        val head = parseRequest(input) ?: return null
        val headers = headersOf(head)
        val body = ByteArray(headers["content-length"]?.toInt() ?: 0)
        input.readFully(body)
        return ReceivedRequest(head.method.value, head.uri.toString(), headers, body)
    }

    private fun headersOf(head: Request): Map<String, String> {
        val headers = HashMap<String, String>()
        for (index in 0 until head.headers.size) {
            headers[
                head.headers
                    .nameAt(index)
                    .toString()
                    .lowercase(),
            ] = head.headers.valueAt(index).toString()
        }
        return headers
    }

    private suspend fun respond(
        socket: Socket,
        response: ScriptedResponse,
    ): Boolean {
        val output = socket.getOutputStream()
        response.chunks.forEach { write(it.encodeToByteArray(), output, response.pause) }
        if (response.isEndless) writeUntilClosed(response.chunks.last().encodeToByteArray(), output, response.pause)
        if (response.connectionAction == ConnectionAction.RESET) socket.setSoLinger(true, 0)
        if (response.connectionAction == ConnectionAction.KILL) closeSockets()
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
    }
}
