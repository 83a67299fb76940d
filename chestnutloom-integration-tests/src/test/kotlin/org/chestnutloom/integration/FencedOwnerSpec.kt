package org.chestnutloom.integration

import org.chestnutloom.integration.proof.FencedOwnerProof

class FencedOwnerSpec : ProofSpec(FencedOwnerProof())
