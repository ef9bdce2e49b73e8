#pragma once

namespace chicoryferry {

// Phase of a TCP flow in the stack that terminates it.
enum class TcpFlowPhase {
    HalfOpen, // a SYN was sent or answered; the handshake is not complete
    Open,
    Closing, // at least one side has sent its FIN
    TimeWait, // both sides have closed; kept to answer a retransmitted FIN
};

}
