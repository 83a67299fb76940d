package org.chestnutloom.integration

import org.chestnutloom.integration.proof.AtMostOnceProof

class AtMostOnceSpec : ProofSpec(AtMostOnceProof())
