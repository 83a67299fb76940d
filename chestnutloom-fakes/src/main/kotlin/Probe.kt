package org.chestnutloom

internal object Probe
