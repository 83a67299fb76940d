package org.chestnutloom.wire.link

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.chestnutloom.wire.message.Done
import org.chestnutloom.wire.message.ProbeStore
import org.chestnutloom.wire.message.WatchLoad
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

// Guards against a graceful stop that closes a link before the end of a reply has been sent, so that the caller of a
// request that was carried out is told that the link was lost.
class LinkDrainSpec :
    DescribeSpec({
        describe("a link server that is drained before it stops") {
            it("sends the end of a reply whose handler is still running") {
                withLinks {
                    val replied = CompletableDeferred<Unit>()
                    val server =
                        server {
                            flow {
                                emit(Done)
                                replied.complete(Unit)
                                delay(200.milliseconds)
                            }
                        }
                    val link = link(server.start())
                    coroutineScope {
                        val replies = async { link.request(ProbeStore).toList() }
                        replied.await()
                        server.drain(1.minutes)
                        server.stop()
                        replies.await() shouldBe listOf(Done)
                    }
                }
            }

            it("does not wait for requests that never end") {
                withLinks {
                    val started = CompletableDeferred<Unit>()
                    val server =
                        server {
                            flow {
                                started.complete(Unit)
                                awaitCancellation()
                            }
                        }
                    val link = link(server.start())
                    coroutineScope {
                        val watch = launch { failureOf { link.request(WatchLoad).toList() } }
                        started.await()
                        withTimeout(1.minutes) { server.drain(1.hours) }
                        server.stop()
                        watch.join()
                    }
                }
            }
        }
    })
