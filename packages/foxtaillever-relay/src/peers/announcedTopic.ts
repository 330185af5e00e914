/** Topics of the platform's store whose records instances announce to each other. */
export enum AnnouncedTopic {
  Operators = 'operators',
  Servers = 'servers'
}
