package org.chestnutloom.daemon.log

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.LoggingEvent
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import java.io.IOException
import java.time.Instant

class EventLineEncoderSpec :
    DescribeSpec({
        fun line(thrown: Throwable?): String {
            val logger = LoggerContext().getLogger("org.chestnutloom.edge.call.CallService")
            val event = LoggingEvent("fqcn", logger, Level.WARN, "event=request status=200", thrown, null)
            event.instant = Instant.parse("2026-02-03T04:05:06.007Z")
            return EventLineEncoder().encode(event).decodeToString()
        }

        describe("a log line") {
            it("has the fields of its event, then time, level and logger") {
                line(thrown = null) shouldBe
                    "event=request status=200 time=2026-02-03T04:05:06.007Z level=WARN logger=CallService\n"
            }

            it("has its exception and the causes in one quoted field") {
                val text = line(IllegalStateException("two\nlines \"quoted\"", IOException("reset")))
                val cause = text.substringAfter(" cause=\"").substringBefore('"')
                cause shouldStartWith "java.lang.IllegalStateException: two lines 'quoted' "
                cause.substringAfter("Caused by: ") shouldStartWith "java.io.IOException: reset "
                text.trimEnd('\n') shouldNotContain "\n"
            }
        }
    })
