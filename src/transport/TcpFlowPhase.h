#pragma once

namespace chicoryferry {

// How far a TCP flow has come in the stack that terminates it.
enum class TcpFlowPhase {
    HalfOpen, // a first packet was answered, the handshake is not complete
    Open,
    Closing, // at least one side has sent its FIN
    TimeWait, // both sides have closed; kept to answer a repeated FIN
};

}
