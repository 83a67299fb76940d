package org.chestnutloom.fakes.http

import java.io.IOException

/** Ends an answer early, so that its connection closes. */
internal class ConnectionDropped : IOException("the connection is dropped on command")
