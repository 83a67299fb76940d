package org.chestnutloom.edge.feed

import arrow.core.Either
import arrow.core.left
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.chestnutloom.edge.VirtualClock
import org.chestnutloom.edge.availability.EvacuationRowDecoder
import org.chestnutloom.edge.config.ConfigurationHolder
import org.chestnutloom.edge.store.InMemoryRowStore
import org.chestnutloom.edge.store.RowSnapshot
import org.chestnutloom.edge.store.RowStore
import org.chestnutloom.store.StoreFailure
import kotlin.time.Duration.Companion.milliseconds

private val READ_TIME = 240.milliseconds

/** Answers after [READ_TIME], or with a failure, or never. */
private class ReadableStore : RowStore by InMemoryRowStore() {
    var readsBegun = 0
    var isUnavailable = false
    var isSilent = false

    override suspend fun read(
        table: String,
        partition: String,
    ): Either<StoreFailure, RowSnapshot> {
        readsBegun++
        if (isSilent) awaitCancellation()
        delay(READ_TIME)
        if (isUnavailable) return StoreFailure.OutcomeUnknown("no response").left()
        return Either.Right(RowSnapshot(emptyList(), version = 1))
    }
}

class StoreConfigurationRefresherSpec :
    DescribeSpec({
        fun TestScope.refresher(
            store: RowStore,
            holder: ConfigurationHolder = ConfigurationHolder(VirtualClock(this)),
        ) = StoreConfigurationRefresher(
            store,
            "op",
            ConfigurationListener(EvacuationRowDecoder, holder),
            VirtualClock(this),
            backgroundScope,
        )

        describe("a configuration that is read for calls") {
            // Guards against an older configuration that decides about a call which came after the read began.
            it("is as new as each call, also if the call came during a read") {
                runTest {
                    val store = ReadableStore()
                    val refresher = refresher(store)
                    val first = async { refresher.refresh() }
                    delay(READ_TIME / 2)
                    val startedAt = currentTime
                    refresher.refresh() shouldBe true
                    (currentTime - startedAt).milliseconds shouldBe READ_TIME
                    first.await() shouldBe true
                    store.readsBegun shouldBe 2
                }
            }

            // Guards against calls that exhaust the rate of reads that the store allows.
            it("is read ten times a second at most, however many calls ask for it") {
                runTest {
                    val store = ReadableStore()
                    val refresher = refresher(store)
                    repeat(990) {
                        launch { refresher.refresh() shouldBe true }
                        delay(1.milliseconds)
                    }
                    store.readsBegun shouldBeLessThanOrEqual 10
                }
            }

            it("is not up to date if the store fails, or does not answer within a second") {
                runTest {
                    val store = ReadableStore()
                    val holder = ConfigurationHolder(VirtualClock(this))
                    val refresher = refresher(store, holder)
                    store.isUnavailable = true
                    List(3) { async { refresher.refresh() } }.awaitAll() shouldBe List(3) { false }
                    store.isSilent = true
                    val startedAt = currentTime
                    refresher.refresh() shouldBe false
                    currentTime - startedAt shouldBe 1_000
                    holder.isFresh shouldBe false
                }
            }
        }
    })
