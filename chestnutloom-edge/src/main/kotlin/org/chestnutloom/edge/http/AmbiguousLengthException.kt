package org.chestnutloom.edge.http

/** A request named both a length and a transfer encoding. */
internal class AmbiguousLengthException : Exception("a request has both a length and a transfer encoding")
