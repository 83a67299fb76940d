package org.chestnutloom.edge.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import org.chestnutloom.edge.codec.CborCodec
import org.chestnutloom.edge.store.InMemoryRowStore
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.wire.link.PeerAddress

class MemberRegistrySpec :
    DescribeSpec({
        fun registry(
            store: InMemoryRowStore,
            incarnation: String = "1",
        ) = MemberRegistry(
            store,
            Member(GatewayId("g1"), Incarnation(incarnation), "siracusa", PeerAddress("127.0.0.1", 1)),
            CborCodec(Member.serializer()),
        )

        suspend fun InMemoryRowStore.registered() = read(MemberRegistry.TABLE, "").getOrNull()?.rows.orEmpty()

        // Guards against a row that a stopped gateway leaves behind, which keeps its share of each rate limit unused.
        describe("a gateway that stops before it has read its own row") {
            it("removes the row that it wrote") {
                val store = InMemoryRowStore()
                val registry = registry(store)
                registry.register()
                registry.unregister(readVersion = null)
                store.registered().shouldBeEmpty()
            }

            it("removes a row that was written twice because the first response was lost") {
                val store = InMemoryRowStore()
                val registry = registry(store)
                store.losesNextResponse = true
                registry.register()
                registry.register()
                registry.unregister(readVersion = 1)
                store.registered().shouldBeEmpty()
            }

            it("removes a row whose write was never acknowledged") {
                val store = InMemoryRowStore()
                registry(store).register()
                registry(store).unregister(readVersion = null)
                store.registered().shouldBeEmpty()
            }

            it("leaves the row of the next incarnation") {
                val store = InMemoryRowStore()
                val stopping = registry(store)
                stopping.register()
                registry(store, incarnation = "2").register()
                stopping.unregister(readVersion = 1)
                store.registered() shouldHaveSize 1
            }
        }
    })
