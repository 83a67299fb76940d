package org.chestnutloom.daemon.log

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase

/**
 * Configures the logs of the daemon in code; reading a configuration file would take a large part of a start.
 *
 * Logback finds this class as a service and calls it at the first use of a logger. It does nothing unless [select] was
 * called before, so that other programs on the same class path keep their own configuration.
 */
public class DaemonLogConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): ExecutionStatus {
        if (!isSelected) return ExecutionStatus.INVOKE_NEXT_IF_ANY
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO)
        root.addAppender(queueTo(standardOutput(context), context))
        context.getLogger("io.ktor").level = Level.WARN
        context.getLogger("io.netty").level = Level.ERROR
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun standardOutput(context: LoggerContext): ConsoleAppender<ILoggingEvent> {
        val encoder = EventLineEncoder()
        encoder.context = context
        encoder.start()
        val appender = ConsoleAppender<ILoggingEvent>()
        appender.context = context
        appender.name = "STDOUT"
        appender.encoder = encoder
        appender.start()
        return appender
    }

    /** Returns a bounded queue before [appender] that drops lines when it is full, so that logging never blocks. */
    private fun queueTo(
        appender: ConsoleAppender<ILoggingEvent>,
        context: LoggerContext,
    ): AsyncAppender {
        val queue = AsyncAppender()
        queue.context = context
        queue.name = "QUEUE"
        queue.queueSize = QUEUE_LINES
        queue.isNeverBlock = true
        queue.discardingThreshold = 0
        queue.addAppender(appender)
        queue.start()
        return queue
    }

    public companion object {
        private const val LEVEL_VARIABLE = "CHESTNUTLOOM_LOG_LEVEL"
        private const val QUEUE_LINES = 2_048

        @Volatile
        private var isSelected = false

        /** Makes this process log as the daemon; to be called before the first use of a logger. */
        public fun select() {
            isSelected = true
        }
    }
}
