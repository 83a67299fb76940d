package org.chestnutloom.gateway.control

/** The versions that this gateway has in force. */
internal interface VersionsInForce {
    val configVersion: Long
    val keyVersion: Long
}
