package org.chestnutloom.fakes.proxy

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import org.chestnutloom.fakes.StandInClient
import kotlin.time.Duration.Companion.seconds

private const val LINK = "l"
private val LIMIT = 30.seconds

/** Runs [test] with a proxy that leads to an echo server. */
private suspend fun behindProxy(test: suspend (Rig) -> Unit) {
    val proxy = faultProxy()
    proxy.start()
    try {
        EchoServer().use { echo ->
            val port = proxy.open(LinkSpec(LINK, targetHost = "127.0.0.1", targetPort = echo.port)).port
            withContext(Dispatchers.IO) { test(Rig(proxy, port, echo)) }
        }
    } finally {
        proxy.stop()
    }
}

private class Rig(
    val proxy: FaultProxy,
    private val port: Int,
    val echo: EchoServer,
) {
    val stats: LinkStats
        get() = proxy.stats().links.single()

    fun connect(): LineSocket = LineSocket(port)

    fun fault(fault: LinkFault) {
        proxy.set(LINK, fault) shouldBe true
    }
}

class FaultProxySpec :
    DescribeSpec({
        describe("a link") {
            it("passes bytes both ways and the end of a connection") {
                behindProxy { rig ->
                    rig.connect().use { it.exchange("hello") shouldBe "hello" }
                    rig.stats.bytesToCaller shouldBe 5
                    eventually(LIMIT) { rig.stats.openConnections shouldBe 0 }
                }
            }

            it("is driven over HTTP") {
                behindProxy { rig ->
                    val admin = StandInClient(rig.proxy.port)
                    admin.send("/admin/links/$LINK/fault", """{"mode":"cut","count":1}""").status shouldBe 204
                    admin.send("/admin/links/none/fault", """{"mode":"cut"}""").status shouldBe 404
                    val opened = admin.send("/admin/links", """{"name":"m","targetHost":"127.0.0.1","targetPort":1}""")
                    opened.status shouldBe 200
                    admin.read<LinkStatsList>("/admin/links").links.map { it.name } shouldBe listOf(LINK, "m")
                }
            }
        }

        describe("a cut") {
            it("closes open connections and new ones until it is lifted") {
                behindProxy { rig ->
                    val old = rig.connect()
                    old.exchange("a")
                    rig.fault(LinkFault(LinkFaultMode.CUT))
                    old.awaitClosed() shouldBe true
                    rig.connect().awaitClosed() shouldBe true
                    rig.fault(LinkFault.NONE)
                    rig.connect().use { it.exchange("b") shouldBe "b" }
                }
            }

            it("after some bytes lets exactly those through") {
                behindProxy { rig ->
                    rig.fault(LinkFault(LinkFaultMode.CUT, afterBytes = 3, direction = Direction.TO_CALLER, count = 1))
                    val cut = rig.connect()
                    cut.write("hello")
                    cut.read(5) shouldBe "hel"
                    rig.connect().use { it.exchange("hello") shouldBe "hello" }
                }
            }

            it("of one direction swallows that direction only, for good") {
                behindProxy { rig ->
                    val old = rig.connect()
                    old.exchange("a")
                    rig.fault(LinkFault(LinkFaultMode.CUT_TO_CALLER))
                    old.write("lost")
                    eventually(LIMIT) { rig.stats.faultsTaken shouldBe 1 }
                    rig.fault(LinkFault.NONE)
                    old.write("late")
                    rig.connect().use { it.exchange("b") shouldBe "b" }
                    eventually(LIMIT) { rig.echo.received shouldContain "late" }
                    old.hasInput shouldBe false
                }
            }

            it("towards the target holds for the connections that carry a text") {
                behindProxy { rig ->
                    rig.fault(LinkFault(LinkFaultMode.CUT_TO_TARGET, match = "secret"))
                    rig.connect().use { it.exchange("plain") shouldBe "plain" }
                    rig.connect().write("a secret")
                    eventually(LIMIT) { rig.stats.faultsTaken shouldBe 1 }
                    rig.echo.received shouldNotContain "a secret"
                }
            }
        }

        describe("silence") {
            it("holds for open connections, which stay open, and not for new ones") {
                behindProxy { rig ->
                    val old = rig.connect()
                    old.exchange("a")
                    rig.fault(LinkFault(LinkFaultMode.SILENT))
                    old.write("lost")
                    rig.connect().use { it.exchange("b") shouldBe "b" }
                    rig.fault(LinkFault.NONE)
                    rig.connect().use { it.exchange("c") shouldBe "c" }
                    rig.echo.received shouldNotContain "lost"
                    old.hasInput shouldBe false
                    rig.stats.faultsTaken shouldBe 1
                }
            }
        }

        describe("a dropped reply") {
            it("follows a request that was delivered") {
                behindProxy { rig ->
                    rig.fault(LinkFault(LinkFaultMode.DROP_REPLY, count = 1))
                    val dropped = rig.connect()
                    dropped.write("pay")
                    dropped.awaitClosed() shouldBe true
                    rig.echo.received shouldContain "pay"
                    rig.connect().use { it.exchange("again") shouldBe "again" }
                }
            }
        }

        describe("duplication") {
            it("writes a piece twice") {
                behindProxy { rig ->
                    rig.fault(LinkFault(LinkFaultMode.DUPLICATE, direction = Direction.TO_CALLER, count = 1))
                    rig.connect().use {
                        it.write("ab")
                        it.read(4) shouldBe "abab"
                        it.exchange("cd") shouldBe "cd"
                    }
                }
            }
        }

        describe("reordering") {
            it("lets the answer on a later connection come first") {
                behindProxy { rig ->
                    rig.fault(
                        LinkFault(LinkFaultMode.REORDER_CONNECTIONS, delayMs = 300, direction = Direction.TO_CALLER),
                    )
                    val first = rig.connect()
                    first.write("1")
                    val second = rig.connect()
                    second.exchange("2") shouldBe "2"
                    first.read(1) shouldBe "1"
                    rig.stats.faultsTaken shouldBe 1
                }
            }
        }
    })
