/**
 * One process of the soak, which can be started, killed, suspended, resumed and
 * restarted by its process id. Only tests do this; the product starts no processes.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'

export interface ChildOptions {
  readonly name: string
  readonly arguments: readonly string[]
  readonly environment: Readonly<Record<string, string>>
  /** Called with each line of the process's standard output. */
  readonly onLine: (line: string) => void
}

/** A signal that was sent to a process, or its exit; milliseconds of Unix time. */
interface ProcessEvent<Kind> {
  readonly kind: Kind
  readonly at: number
}

export class Child {
  private process: ChildProcess | undefined
  /** Signals that end the process, in the order in which they were sent. */
  readonly endings: Array<ProcessEvent<NodeJS.Signals>> = []
  /** Exits without such a signal, by exit code or signal. */
  readonly unexpectedExits: Array<ProcessEvent<string>> = []
  /** Whether it was sent such a signal and has not been started since. */
  isEnding = false
  private startedAt = 0
  isSuspended = false
  /** The last 2000 characters of standard error, across restarts. */
  stderrTail = ''

  private constructor (readonly options: ChildOptions) {}

  static create (options: ChildOptions): Child {
    return new Child(options)
  }

  /** Undefined while it does not run. */
  get pid (): number | undefined {
    return this.process?.pid
  }

  isUp (): boolean {
    return this.process !== undefined
  }

  start (): void {
    if (this.process) {
      return
    }
    const child = spawn(process.execPath, [...this.options.arguments], { stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ...this.options.environment } })
    this.process = child
    this.isSuspended = false
    this.isEnding = false
    this.startedAt = Date.now()
    createInterface({ input: child.stdout }).on('line', this.options.onLine)
    child.stderr.on('data', (chunk: Buffer) => { this.stderrTail = (this.stderrTail + chunk.toString()).slice(-2000) })
    child.once('exit', (code, signal) => {
      if (!this.isEnding) {
        this.unexpectedExits.push({ kind: String(signal ?? code), at: Date.now() })
      }
      if (this.process === child) {
        this.process = undefined
      }
    })
  }

  /** Kills the process at once, like the crash of an instance. */
  async kill (): Promise<void> {
    await this.endBySignal('SIGKILL')
  }

  /** Stops the process gracefully; returns its exit code. */
  async terminate (): Promise<number | null> {
    return await this.endBySignal('SIGTERM')
  }

  private async endBySignal (signal: NodeJS.Signals): Promise<number | null> {
    const child = this.process
    if (!child) {
      return 0
    }
    const ended = new Promise<number | null>(resolve => child.once('exit', code => resolve(code)))
    this.isEnding = true
    this.endings.push({ kind: signal, at: Date.now() })
    child.kill(signal)
    if (this.isSuspended) {
      child.kill('SIGCONT')
      this.isSuspended = false
    }
    return await ended
  }

  /** Makes the process read its settings again, if it was started at least this long ago, milliseconds. */
  reload (startedMs: number): void {
    if (Date.now() >= this.startedAt + startedMs) {
      this.process?.kill('SIGHUP')
    }
  }

  suspend (): void {
    this.isSuspended = this.process?.kill('SIGSTOP') === true
  }

  resume (): void {
    this.process?.kill('SIGCONT')
    this.isSuspended = false
  }
}
