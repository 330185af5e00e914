/**
 * One process of the soak: started, killed, stopped, continued and started
 * again by its own id. Only the test rig does this; the product starts none.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'

export interface ChildOptions {
  readonly name: string
  readonly arguments: readonly string[]
  readonly environment: Readonly<Record<string, string>>
  /** Hears each line of its standard output. */
  readonly onLine: (line: string) => void
}

export class Child {
  private process: ChildProcess | undefined
  isStopped = false
  /** Standard error of the present process, its end. */
  complaint = ''

  private constructor (readonly options: ChildOptions) {}

  static create (options: ChildOptions): Child {
    return new Child(options)
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
    this.isStopped = false
    createInterface({ input: child.stdout }).on('line', this.options.onLine)
    child.stderr.on('data', (chunk: Buffer) => { this.complaint = (this.complaint + chunk.toString()).slice(-2000) })
    child.once('exit', () => {
      if (this.process === child) {
        this.process = undefined
      }
    })
  }

  /** Ends it without a word, as a lost instance does. */
  async kill (): Promise<void> {
    await this.end('SIGKILL')
  }

  /** Asks it to end; returns its exit code. */
  async terminate (): Promise<number | null> {
    return await this.end('SIGTERM')
  }

  private async end (signal: NodeJS.Signals): Promise<number | null> {
    const child = this.process
    if (!child) {
      return 0
    }
    const ended = new Promise<number | null>(resolve => child.once('exit', code => resolve(code)))
    child.kill(signal)
    if (this.isStopped) {
      child.kill('SIGCONT')
      this.isStopped = false
    }
    return await ended
  }

  stop (): void {
    this.isStopped = this.process?.kill('SIGSTOP') === true
  }

  continue (): void {
    this.process?.kill('SIGCONT')
    this.isStopped = false
  }
}
