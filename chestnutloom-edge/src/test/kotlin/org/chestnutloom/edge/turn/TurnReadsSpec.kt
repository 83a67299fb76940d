package org.chestnutloom.edge.turn

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.chestnutloom.edge.VirtualClock
import org.chestnutloom.id.CallId
import org.chestnutloom.id.TargetId
import kotlin.time.Duration.Companion.milliseconds

private val READ_TIME = 10.milliseconds

/** A store of turns of [inputBytes] each. */
private class SlowStore(
    test: TestScope,
    var inputBytes: Int,
) {
    val read = ArrayList<CallId>()
    var missing: CallId? = null
    var mostTogether = 0
    private var together = 0
    val reads = TurnReads(VirtualClock(test), ::read)

    private suspend fun read(id: CallId): Either<TurnFailure, TurnRecord> {
        read += id
        mostTogether = maxOf(mostTogether, ++together)
        // The store answers with what it held when it was asked.
        val isMissing = id == missing
        try {
            delay(READ_TIME)
        } finally {
            together--
        }
        if (isMissing) return TurnFailure.NotFound.left()
        return TurnRecord(id, null, emptyList(), ByteArray(inputBytes), ByteArray(0), TargetId("i-1")).right()
    }

    /** Reads [count] different turns at the same time. */
    suspend fun readMany(
        test: TestScope,
        count: Int,
        name: String,
    ): List<Either<TurnFailure, TurnRecord>> =
        (1..count).map { test.async { reads.read(CallId("$name-$it"), inputBytes) } }.awaitAll()
}

class TurnReadsSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val id = CallId("turn")

        describe("a turn that several calls read at the same time") {
            // Guards against a heap that is exhausted by many calls that continue one long turn.
            it("is read once") {
                runTest {
                    val store = SlowStore(this, inputBytes = 2_500_000)
                    val results = (1..40).map { async { store.reads.read(id, store.inputBytes) } }.awaitAll()
                    results.all { it.isRight() } shouldBe true
                    store.read shouldHaveSize 1
                }
            }

            it("is read again for the others if the first call is cancelled") {
                runTest {
                    val store = SlowStore(this, inputBytes = 10)
                    val first = launch { store.reads.read(id, store.inputBytes) }
                    val others = (1..3).map { async { store.reads.read(id, store.inputBytes) } }
                    delay(READ_TIME / 2)
                    first.cancel()
                    others.awaitAll().all { it.isRight() } shouldBe true
                    store.read shouldHaveSize 2
                }
            }

            it("is missing for all of them, and read again later") {
                runTest {
                    val store = SlowStore(this, inputBytes = 10)
                    store.missing = id
                    val results = (1..3).map { async { store.reads.read(id, store.inputBytes) } }.awaitAll()
                    results.all { it == TurnFailure.NotFound.left() } shouldBe true
                    store.missing = null
                    store.reads.read(id, store.inputBytes).isRight() shouldBe true
                }
            }
        }

        describe("a turn that is stored while it is read") {
            // Guards against a 404 for a turn that was answered whole, since an earlier call had not found it (review/11).
            it("is read once more for all calls that came after the read began") {
                runTest {
                    val store = SlowStore(this, inputBytes = 2_500_000)
                    store.missing = id
                    val first = async { store.reads.read(id, store.inputBytes) }
                    delay(READ_TIME / 2)
                    store.missing = null
                    val later = (1..40).map { async { store.reads.read(id, store.inputBytes) } }
                    first.await() shouldBe TurnFailure.NotFound.left()
                    later.awaitAll().all { it.isRight() } shouldBe true
                    store.read shouldHaveSize 2
                }
            }

            it("is found by calls that came while the read waited for others") {
                runTest {
                    val store = SlowStore(this, inputBytes = 7_000_000)
                    repeat(2) { launch { store.reads.read(CallId("long-$it"), store.inputBytes) } }
                    delay(1.milliseconds)
                    val calls = (1..3).map { async { store.reads.read(id, store.inputBytes) } }
                    calls.awaitAll().all { it.isRight() } shouldBe true
                    store.read.count { it == id } shouldBe 1
                }
            }
        }

        describe("different turns that are read at the same time") {
            // Guards against a heap that is exhausted by calls that continue different long turns.
            it("are read a few at a time if they are long") {
                runTest {
                    val store = SlowStore(this, inputBytes = 2_500_000)
                    store.readMany(this, count = 30, name = "next").all { it.isRight() } shouldBe true
                    store.mostTogether shouldBeLessThanOrEqual 2
                }
            }

            it("are read all together if they are short") {
                runTest {
                    val store = SlowStore(this, inputBytes = 17_000)
                    val startedAt = currentTime
                    store.readMany(this, count = 200, name = "next")
                    currentTime - startedAt shouldBe READ_TIME.inWholeMilliseconds
                }
            }

            // Guards against calls of all accounts that wait for the long turns of one.
            it("are read beside long ones if they are short") {
                runTest {
                    val store = SlowStore(this, inputBytes = 7_000_000)
                    val long = (1..5).map { async { store.reads.read(CallId("long-$it"), 7_000_000) } }
                    delay(1.milliseconds)
                    val startedAt = currentTime
                    (1..50).map { async { store.reads.read(CallId("short-$it"), 17_000) } }.awaitAll()
                    currentTime - startedAt shouldBe READ_TIME.inWholeMilliseconds
                    long.awaitAll().all { it.isRight() } shouldBe true
                }
            }

            it("do not wait for calls that are cancelled") {
                runTest {
                    val store = SlowStore(this, inputBytes = 7_000_000)
                    val left = (1..5).map { launch { store.reads.read(CallId("left-$it"), store.inputBytes) } }
                    delay(READ_TIME / 2)
                    left.forEach { it.cancel() }
                    store.readMany(this, count = 2, name = "next").all { it.isRight() } shouldBe true
                }
            }
        }
    })
