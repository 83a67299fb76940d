package org.chestnutloom.wire.link

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.port
import kotlinx.coroutines.Dispatchers

class PeerAddressOfSpec :
    DescribeSpec({
        describe("the address of an accepted connection") {
            it("is an IP address, without a reverse DNS lookup") {
                SelectorManager(Dispatchers.IO).use { selector ->
                    val server = aSocket(selector).tcp().bind("127.0.0.1", 0)
                    val client = aSocket(selector).tcp().connect("127.0.0.1", server.port)
                    val accepted = server.accept()
                    peerAddressOf(accepted.remoteAddress).host shouldBe "127.0.0.1"
                    listOf(accepted, client, server).forEach { it.close() }
                }
            }
        }
    })
