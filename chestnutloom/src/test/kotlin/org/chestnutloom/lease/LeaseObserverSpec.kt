package org.chestnutloom.lease

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.chestnutloom.store.Row
import kotlin.time.Duration.Companion.seconds

class LeaseObserverSpec :
    DescribeSpec({
        describe("a lease observer") {
            val row = Row("gateway/trial/a", 1, "{}")

            it("reports a row as expired after it was unchanged for the full lease duration") {
                val observer = leaseObserver(4.seconds, 2.seconds)
                for (second in 0..3) {
                    observer.observe(listOf(row), second.seconds)
                    observer.isExpired(row) shouldBe false
                }
                observer.observe(listOf(row), 4.seconds)
                observer.isExpired(row) shouldBe true
                observer.isExpired(row.copy(version = 2)) shouldBe false
            }

            it("restarts the observation after a renewal and after a gap in reading") {
                val observer = leaseObserver(4.seconds, 2.seconds)
                (0..3).forEach { observer.observe(listOf(row), it.seconds) }
                val renewed = row.copy(version = 2)
                (4..7).forEach { observer.observe(listOf(renewed), it.seconds) }
                observer.isExpired(renewed) shouldBe false
                observer.observe(listOf(renewed), 10.seconds)
                observer.isExpired(renewed) shouldBe false
                (11..14).forEach { observer.observe(listOf(renewed), it.seconds) }
                observer.isExpired(renewed) shouldBe true
            }
        }
    })
