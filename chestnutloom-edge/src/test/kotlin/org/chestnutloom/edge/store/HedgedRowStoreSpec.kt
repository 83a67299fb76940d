package org.chestnutloom.edge.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.chestnutloom.store.StoreFailure
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val WAIT = 1_000.milliseconds
private const val CONFIGURATION_BOUND_MS = 2_000L

/** A store whose watches end as [responses] tell, in the order of the calls. */
private class WatchedRowStore(
    private val responses: List<suspend () -> Either<WatchFailure, RowSnapshot>>,
) : RowStore by InMemoryRowStore() {
    val waits = ArrayList<Duration>()

    override suspend fun watch(
        table: String,
        version: Long,
        wait: Duration,
    ): Either<WatchFailure, RowSnapshot> {
        waits += wait
        return responses[waits.size - 1]()
    }
}

private suspend fun after(
    time: Duration,
    version: Long,
): Either<WatchFailure, RowSnapshot> {
    delay(time)
    return RowSnapshot(emptyList(), version).right()
}

private val UNAVAILABLE = WatchFailure.Failed(StoreFailure.Unavailable("refused")).left()

@OptIn(ExperimentalCoroutinesApi::class)
class HedgedRowStoreSpec :
    DescribeSpec({
        describe("a watch") {
            // Guards against a change that takes effect only after a silent watch has timed out.
            it("without a response in time is followed by one that does not wait, within the bound for changes") {
                runTest {
                    val store = WatchedRowStore(listOf({ after(1_800.milliseconds, 1) }, { after(20.milliseconds, 2) }))
                    val changes = HedgedRowStore(store).watch("t", 0, WAIT).getOrNull()
                    changes?.version shouldBe 2
                    store.waits shouldBe listOf(WAIT, Duration.ZERO)
                    currentTime shouldBeLessThan CONFIGURATION_BOUND_MS
                }
            }

            // Guards against calls to the store that are paid for and tell nothing new.
            it("with a response in time is one call, even if the store is slow") {
                runTest {
                    val store = WatchedRowStore(listOf({ after(WAIT + 400.milliseconds, 1) }))
                    HedgedRowStore(store).watch("t", 0, WAIT).getOrNull()?.version shouldBe 1
                    store.waits shouldBe listOf(WAIT)
                }
            }

            // Guards against a silent connection whose timeout ends the call on a new one that is about to respond.
            it("that fails does not end the second one") {
                runTest {
                    val failing: suspend () -> Either<WatchFailure, RowSnapshot> = {
                        delay(1_800.milliseconds)
                        UNAVAILABLE
                    }
                    val store = WatchedRowStore(listOf(failing, { after(600.milliseconds, 2) }))
                    HedgedRowStore(store).watch("t", 0, WAIT).getOrNull()?.version shouldBe 2
                }
            }

            // Guards against a slow store that rejects the second call, after which the whole table is read again.
            it("is not ended by the failure of the second one") {
                runTest {
                    val store = WatchedRowStore(listOf({ after(WAIT + 700.milliseconds, 1) }, { UNAVAILABLE }))
                    HedgedRowStore(store).watch("t", 0, WAIT).getOrNull()?.version shouldBe 1
                }
            }
        }
    })
