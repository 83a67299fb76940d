package org.chestnutloom.daemon

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import sun.misc.Signal
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val TIMEOUT_SECONDS = 10L

class ReloadSignalSpec :
    DescribeSpec({
        describe("the signal to reload") {
            // Guards against a process that ends because its settings changed while it was starting.
            it("that arrives while the process starts is handled once it has started") {
                // Tests may run in a process that ignores SIGHUP.
                val signal = ReloadSignal("USR2")
                signal.install()
                Signal.raise(Signal("USR2"))
                val delivered = CountDownLatch(1)
                val reloads = AtomicInteger()
                signal.onReload {
                    reloads.incrementAndGet()
                    delivered.countDown()
                }
                delivered.await(TIMEOUT_SECONDS, TimeUnit.SECONDS) shouldBe true
                reloads.get() shouldBe 1
            }

            it("that arrives later is handled each time") {
                val signal = ReloadSignal()
                val reloads = AtomicInteger()
                signal.handle(Signal("HUP"))
                signal.handle(Signal("HUP"))
                signal.onReload { reloads.incrementAndGet() }
                reloads.get() shouldBe 1
                signal.handle(Signal("HUP"))
                reloads.get() shouldBe 2
            }
        }
    })
