package org.chestnutloom.fakes.experiment

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.Json
import org.chestnutloom.config.AccessKey
import org.chestnutloom.config.KeyRecord
import org.chestnutloom.config.documentDecoder
import org.chestnutloom.fakes.workload.WorkloadDocuments

class EnvironmentDocumentSpec :
    DescribeSpec({
        describe("the environment document of a workload") {
            listOf("smoke", "intreccio-overload", "swan-coastal-overload").forEach { name ->
                it("decodes for $name, with each account's rate") {
                    val workload = WorkloadDocuments.load(name)
                    val decoded = documentDecoder().decode(EnvironmentDocument.of(workload))
                    val settings = decoded.getOrNull().shouldNotBeNull()
                    settings.targets.size shouldBe workload.fleet.engines + workload.fleet.tools
                    settings.accounts
                        .map { (id, account) -> Triple(id.value, account.ratePerSecond, account.burst) }
                        .shouldContainExactlyInAnyOrder(
                            workload.accounts.map { Triple(it.name, it.ratePerSecond, it.burst) },
                        )
                }
            }

            it("has a key record for each account, without the secret") {
                val key = AccessKey.generate()
                val rows = EnvironmentRows("production", "document", mapOf("ward" to key), nowMs = 1).transaction()
                val written = rows.writes.single { it.key == "key/production/${key.id}" }
                key.matches(Json.decodeFromString<KeyRecord>(written.value.shouldNotBeNull())) shouldBe true
                rows.writes.none { key.bearer().substringAfterLast('_') in it.value.orEmpty() } shouldBe true
            }
        }
    })
