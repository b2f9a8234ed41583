#pragma once

/// Every member of a manifest is declared here once: kind, name, default, least, most, meaning. The reader,
/// its checks, and the operators' page are all made from these lists.
#define WHARF_TENANT_OPTIONS(NUMBER, FLAG, TEXT)                                                             \
  NUMBER(base, 10, 1, 1000000, "Errands a second the tenant may send, over all pilots together.")            \
  NUMBER(burst, 0, 0, 10000000, "Errands above the base a quiet tenant may send at once.")

#define WHARF_SERVICE_OPTIONS(NUMBER, FLAG, TEXT)                                                            \
  TEXT(image, "", 1, 256, "Image or command name the platform starts.")                                      \
  NUMBER(memory_mb, 128, 1, 1048576, "Memory one runner takes on its worker.")                               \
  NUMBER(slots, 1, 1, 10000, "Errands one runner may run at once.")                                          \
  NUMBER(least, 0, 0, 10000, "Runners kept even when idle.")                                                 \
  NUMBER(most, 4, 1, 10000, "Runners never exceeded.")                                                       \
  NUMBER(idle_s, 30, 1, 86400, "Seconds a runner idles before it is let go.")                                \
  FLAG(once, false, "An errand of this service must never run twice.")                                       \
  NUMBER(worth, 1, 1, 1000, "What a call is worth next to other services' calls.")

#define WHARF_TRIAL_OPTIONS(NUMBER, FLAG, TEXT)                                                              \
  NUMBER(refused_most_percent, 5, 0, 100, "Share of a tenant's measured errands a change may newly refuse.") \
  NUMBER(unruled_most_percent, 100, 0, 100,                                                                  \
         "Share of a tenant's measured errands that may newly have no rule.")                                \
  NUMBER(memory_most_percent, 100, 1, 1000, "Share of the workers' memory that a change may come to need.")  \
  NUMBER(starts_most_s, 10, 1, 3600, "Seconds of the platform's pace that a change's starts may take.")      \
  NUMBER(measured_least, 200, 1, 100000000, "Errands of the last minute below which nothing is foretold.")

#define WHARF_LIMIT_OPTIONS(NUMBER, FLAG, TEXT)                                                              \
  NUMBER(wait_default_ms, 5000, 50, 600000, "How long a caller waits when it does not say.")                 \
  NUMBER(wait_most_ms, 30000, 50, 600000, "The longest a caller may say it waits.")                          \
  NUMBER(body_most_bytes, 1048576, 0, 16777216, "The largest body an errand or an answer may have.")         \
  NUMBER(pending_most, 256, 1, 100000, "Errands one service may hold pending.")                              \
  NUMBER(claim_keep_s, 900, 60, 86400, "Seconds the answer of a once errand is kept after it ended.")        \
  NUMBER(unknown_keep_s, 86400, 900, 604800, "Seconds a once errand with no known end blocks its repeats.")
