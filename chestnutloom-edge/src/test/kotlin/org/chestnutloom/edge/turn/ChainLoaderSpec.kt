package org.chestnutloom.edge.turn

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeSameInstanceAs
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.chestnutloom.edge.VirtualClock
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.TargetId
import kotlin.time.Duration.Companion.milliseconds

private const val CAPACITY_BYTES = 16L * 1024 * 1024

/** A chain of turns whose inputs have [inputBytes] each, and a loader of it. */
private class LoaderFixture(
    val memory: TurnMemory = TurnMemory(CAPACITY_BYTES),
    turnCount: Int,
    inputBytes: Int,
    newestBytes: Int = inputBytes,
) {
    private val ids = (1..turnCount).map { CallId("turn-$it") }
    private val records =
        ids.associateWith {
            val ancestors = ids.takeWhile { id -> id != it }
            val sizes = List(ancestors.size) { inputBytes }
            val input = ByteArray(if (it == ids.last()) newestBytes else inputBytes)
            TurnRecord(it, null, ancestors, input, ByteArray(1), TargetId("i-1"), ancestorBytes = sizes)
        }
    val newest = records.getValue(ids.last())
    var missing: CallId? = null
    var loading = 0
    var mostLoading = 0

    private val reads = TurnReads(VirtualClock(TestScope()), ::read)

    suspend fun chain(): Either<TurnFailure, TurnChain> =
        ChainLoader(memory, ::load).load(memory.find(newest.id) ?: newest)

    private suspend fun load(
        id: CallId,
        expectedBytes: Int?,
    ): Either<TurnFailure, TurnRecord> = memory.find(id)?.right() ?: reads.read(id, expectedBytes ?: 0)

    private suspend fun read(id: CallId): Either<TurnFailure, TurnRecord> {
        mostLoading = maxOf(mostLoading, ++loading)
        delay(10.milliseconds)
        loading--
        return if (id == missing) TurnFailure.NotFound.left() else records.getValue(id).right()
    }
}

class ChainLoaderSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf

        describe("a chain that is loaded") {
            it("has its turns in their order, the oldest first") {
                runTest {
                    val fixture = LoaderFixture(turnCount = 5, inputBytes = 10)
                    val ids = fixture.chain().getOrNull()?.ids
                    ids shouldBe (1..5).map { CallId("turn-$it") }
                }
            }

            it("is read all at once if its turns are short") {
                runTest {
                    val fixture = LoaderFixture(turnCount = 22, inputBytes = 17_000)
                    fixture.chain().isRight() shouldBe true
                    fixture.mostLoading shouldBe 21
                }
            }

            // Guards against a heap that is exhausted by long turns that are all read at the same time.
            it("is read turn by turn if its turns are long") {
                runTest {
                    val fixture = LoaderFixture(turnCount = 4, inputBytes = 3_000_000)
                    fixture.chain().isRight() shouldBe true
                    fixture.mostLoading shouldBeLessThanOrEqual 1
                }
            }

            it("shares its turns with other calls that continue it, and counts them once") {
                runTest {
                    val memory = TurnMemory(CAPACITY_BYTES)
                    val first = LoaderFixture(memory, turnCount = 3, inputBytes = 3_000_000).chain().getOrNull()!!
                    val heldBytes = memory.heldBytes
                    val second = LoaderFixture(memory, turnCount = 3, inputBytes = 3_000_000).chain().getOrNull()!!
                    memory.heldBytes shouldBe heldBytes
                    second.turns.zip(first.turns).forEach { (one, other) -> one shouldBeSameInstanceAs other }
                    first.release()
                    memory.heldBytes shouldBe heldBytes
                    second.release()
                    second.release()
                    memory.heldBytes shouldBe 0
                }
            }

            // Guards against the turn of another account with the same id in the body of a request.
            it("has its own turn, whatever turn with the same id another call holds") {
                runTest {
                    val memory = TurnMemory(CAPACITY_BYTES)
                    val id = CallId("same")
                    val records =
                        listOf("a", "b").map {
                            TurnRecord(id, ClientAccountId(it), emptyList(), ByteArray(9), ByteArray(0), TargetId("i"))
                        }
                    val chains =
                        records.map {
                            ChainLoader(
                                memory,
                            ) { _, _ -> error("no other") }.load(it).getOrNull()!!
                        }
                    chains.zip(records).forEach { (chain, record) ->
                        chain.turns.single() shouldBeSameInstanceAs record
                    }
                    chains.forEach { it.release() }
                    memory.heldBytes shouldBe 0
                    memory.find(id) shouldBe null
                }
            }

            // Guards against a heap that is exhausted by long turns behind a short one.
            it("is read turn by turn if only its newest turn is short") {
                runTest {
                    val fixture = LoaderFixture(turnCount = 4, inputBytes = 3_000_000, newestBytes = 10)
                    fixture.chain().isRight() shouldBe true
                    fixture.mostLoading shouldBeLessThanOrEqual 1
                }
            }

            // Guards against memory that a chain takes for good after one of its turns could not be read.
            it("holds nothing if one of its turns cannot be loaded") {
                runTest {
                    val fixture = LoaderFixture(turnCount = 3, inputBytes = 100)
                    fixture.missing = CallId("turn-2")
                    fixture.chain() shouldBe TurnFailure.NotFound.left()
                    fixture.memory.heldBytes shouldBe 0
                }
            }

            // Guards against a heap that is exhausted by the chains of all calls.
            it("is refused for now if it does not fit beside others, and for good if it never fits") {
                runTest {
                    val memory = TurnMemory(CAPACITY_BYTES)
                    val whole = LoaderFixture(memory, turnCount = 4, inputBytes = 3_000_000).chain().getOrNull()!!
                    val other = CallId("other")
                    val record = TurnRecord(other, null, emptyList(), ByteArray(3_000_000), ByteArray(0), TargetId("i"))
                    ChainLoader(memory) { _, _ -> error("no other turn") }.load(record) shouldBe
                        TurnFailure.NoMemory.left()
                    whole.release()
                    LoaderFixture(memory, turnCount = 5, inputBytes = 3_000_000).chain() shouldBe
                        TurnFailure.TooLarge.left()
                    memory.heldBytes shouldBe 0
                    memory.refusedCount shouldBe 2
                }
            }
        }

        describe("the request body of a chain") {
            it("has the input and output of each turn, then the new input") {
                runTest {
                    val memory = TurnMemory(CAPACITY_BYTES)
                    val id = CallId("a")
                    val first = TurnRecord(id, null, emptyList(), "in".encodeToByteArray(), ByteArray(0), TargetId("i"))
                    val loader = ChainLoader(memory) { _, _ -> first.right() }
                    val second =
                        TurnRecord(
                            CallId("b"),
                            null,
                            listOf(id),
                            ByteArray(0),
                            "out".encodeToByteArray(),
                            TargetId("i"),
                        )
                    val body = loader.load(second).getOrNull()!!.requestBody("new".encodeToByteArray())
                    body.joined().decodeToString() shouldBe "inoutnew"
                    body.size shouldBe 8
                    body.slices(2).map { String(it.bytes, it.offset, it.length) }.toList() shouldContainExactly
                        listOf("in", "ou", "t", "ne", "w")
                }
            }
        }
    })
