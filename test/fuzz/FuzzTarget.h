#pragma once

#include <cstddef>
#include <cstdint>

// The entry point that libFuzzer and CorpusMain.cpp call. Returns 0; a fault is reported as a crash or by a sanitizer.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer looks for this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);
