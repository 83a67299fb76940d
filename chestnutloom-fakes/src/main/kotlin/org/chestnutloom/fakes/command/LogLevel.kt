package org.chestnutloom.fakes.command

import ch.qos.logback.classic.Level
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import ch.qos.logback.classic.Logger as LogbackLogger

/** Raises the log level to warnings, which keeps log messages of libraries out of the output. */
internal fun limitLoggingToWarnings() {
    val root = LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME)
    if (root is LogbackLogger) root.level = Level.WARN
}
