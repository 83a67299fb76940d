package org.chestnutloom.integration

import org.chestnutloom.integration.proof.GracefulShutdownProof

class GracefulShutdownSpec : ProofSpec(GracefulShutdownProof())
