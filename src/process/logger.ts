/** Structured logs: one JSON object per line, written in batches so that logging every request stays cheap. */
import { Logger as TslogLogger } from "tslog";
import type { TimerService } from "../common/timerService.js";
import { type LogEvent, type LogLevel, logLevels } from "./logEvents.js";

/** Fields of one log line; their names include the unit. Must not contain keys or other secrets. */
export type LogFields = Record<string, string | number | boolean | readonly string[] | undefined>;

export interface Logger {
    /** Logs one numbered event, if its level is enabled. */
    log(event: LogEvent, fields?: LogFields): void;
    /** Writes the buffered lines. */
    flush(): void;
}

export interface LoggerOptions {
    minimumLevel: LogLevel;
    /** Fields that are added to every line. */
    processFields: LogFields;
    /** Writes a batch of complete lines. */
    write(batch: string): void;
    timers: TimerService;
    signal: AbortSignal;
}

const flushIntervalMs = 50;
/** A pipe takes a write of up to PIPE_BUF bytes as a whole; a longer one may be interleaved or cut by what reads the pipe. */
const maximumBatchBytes = 4_096;
const tslogLevelIds: Record<LogLevel, number> = { debug: 2, info: 3, warn: 4, error: 5 };

/** Creates the logger of a process; it flushes when the signal aborts. */
export function createLogger(options: LoggerOptions): Logger {
    let batch = "";
    let batchBytes = 0;
    let cancelFlush: (() => void) | undefined;
    const flush = (): void => {
        cancelFlush?.();
        cancelFlush = undefined;
        if (batch !== "") {
            options.write(batch);
            batch = "";
            batchBytes = 0;
        }
    };
    const append = (line: unknown): void => {
        const text = `${JSON.stringify(line)}\n`;
        const textBytes = Buffer.byteLength(text);
        if (batchBytes + textBytes > maximumBatchBytes) {
            flush();
        }
        batch += text;
        batchBytes += textBytes;
        cancelFlush ??= options.timers.after(flushIntervalMs, flush);
    };
    // The library's cloning, masking and call-site lookup cost more than serving a request. They are bypassed because
    // the fields are flat and contain no secrets.
    const tslog = new TslogLogger<unknown>({
        type: "json",
        minLevel: tslogLevelIds[options.minimumLevel],
        hideLogPositionForProduction: true,
        overwrite: {
            mask: values => values,
            toLogObj: values => values[0],
            addMeta: line => line as ReturnType<TslogLogger<unknown>["log"]> & object,
            transportJSON: append,
        },
    });
    const writers: Record<LogLevel, (line: LogFields) => void> = {
        [logLevels.debug]: line => tslog.debug(line),
        [logLevels.info]: line => tslog.info(line),
        [logLevels.warn]: line => tslog.warn(line),
        [logLevels.error]: line => tslog.error(line),
    };
    options.signal.addEventListener("abort", flush, { once: true });
    return {
        flush,
        log: (event, fields) => {
            if (tslogLevelIds[event.level] < tslogLevelIds[options.minimumLevel]) {
                return;
            }
            writers[event.level]({
                timeMs: options.timers.wallClockMs(),
                level: event.level,
                event: event.id,
                text: event.text,
                ...options.processFields,
                ...fields,
            });
        },
    };
}

/** Creates a logger that discards every line. */
export function createSilentLogger(): Logger {
    return { log: () => undefined, flush: () => undefined };
}
