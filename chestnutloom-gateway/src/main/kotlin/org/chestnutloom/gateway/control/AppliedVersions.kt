package org.chestnutloom.gateway.control

/** The configuration and key versions that this gateway has applied. */
internal interface AppliedVersions {
    val configVersion: Long
    val keyVersion: Long
}
